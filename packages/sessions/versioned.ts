/** A row with its version in the store. */
export type Versioned<Row> = Row & {readonly version: number};
