/** Name of the table row that refers to the configuration in force. */
export const configurationRowName = 'configuration';
