/** Bytes in front of a frame's message that tell its length. */
export const frameHeaderBytes = 4;
