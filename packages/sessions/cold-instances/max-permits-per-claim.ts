/** Largest number of permits that one claim gets, so that one host does not take all that is saved up. */
export const maxPermitsPerClaim = 8;
