import {isIPv4} from 'node:net';

/** Highest port of TCP. */
const maxPort = 65_535;

/**
 * Parses an address that another program wrote, of the form `10.1.0.26:8465`. Names of hosts are not looked up.
 *
 * @returns Undefined if the value is not the text of an IPv4 address and a port from 1 to 65535.
 */
export function parseSocketAddress(value: unknown): {readonly host: string; readonly port: number} | undefined {
	if (typeof value !== 'string') {
		return undefined;
	}

	const at = value.lastIndexOf(':');
	const host = value.slice(0, Math.max(0, at));
	const port = value.slice(at + 1);
	return isIPv4(host) && /^[1-9]\d{0,4}$/v.test(port) && Number(port) <= maxPort ? {host, port: Number(port)} : undefined;
}
