/** Hosts that connect to an instance: one that is lost takes a part of the workspaces with it, more leave each too few connections. */
export const gatewayCount = 3;
