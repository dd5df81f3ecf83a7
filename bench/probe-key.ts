/** Key of the workspace through which a host's overhead is measured; its rate is no limit. */
export const probeKey = 'Key-Of-Probe';
