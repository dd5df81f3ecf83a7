/** Largest number of copies in the row of a group, which all hosts read. */
export const maxCopies = 100;
