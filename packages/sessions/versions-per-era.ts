/** Number of versions of the store that one era can hold; a version of a later era is above all those of earlier ones. */
export const versionsPerEra = 2 ** 40;
