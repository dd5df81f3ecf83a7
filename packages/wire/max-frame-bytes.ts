/** Bytes of a frame's message at most; a configuration of many workspaces takes a few hundred thousand. */
export const maxFrameBytes = 8 * 1024 * 1024;
