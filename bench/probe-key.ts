/** Key of the workspace that measures a host's overhead; its rate is high enough not to limit the measurement. */
export const probeKey = 'Key-Of-Probe';
