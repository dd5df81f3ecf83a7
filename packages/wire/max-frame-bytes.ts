/** Maximum bytes of a message in a frame. A configuration of many workspaces takes a few hundred thousand bytes. */
export const maxFrameBytes = 8 * 1024 * 1024;
