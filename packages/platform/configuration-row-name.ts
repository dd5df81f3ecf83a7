/** Name of the table row that names the configuration in force. */
export const configurationRowName = 'configuration';
