/** Milliseconds after which a check without an answer has failed. */
const timeoutMs = 1000;

/** Returns whether the readiness check of the host that serves it at this port succeeds now. */
export async function isReady(port: number): Promise<boolean> {
	try {
		const response = await fetch(`http://127.0.0.1:${port}/sapphirefall/readyz`, {signal: AbortSignal.timeout(timeoutMs)});
		return response.ok;
	} catch {
		return false;
	}
}
