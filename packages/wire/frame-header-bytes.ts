/** Bytes of a frame's header, which contains the length of the message. */
export const frameHeaderBytes = 4;
