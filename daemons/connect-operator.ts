import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	Code, ConnectError, createClient, type Client,
} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {resultCodes} from '@sapphirefall/decisions';
import {createTokenInterceptor, OperatorService} from '@sapphirefall/wire';
import {CommandError} from './command-error.ts';
import type {OperatorOptions} from './operator-options.ts';

/** Milliseconds to wait for the answer of a host. */
const callTimeoutMs = 5000;

type Call<T> = (client: Client<typeof OperatorService>) => Promise<T>;

/**
 * Calls the operator service of the host that the options or the environment give.
 *
 * @param options Address and token file; the defaults are `SAPPHIREFALL_ADDRESS` and `SAPPHIREFALL_OPERATOR_TOKEN`.
 * @param call Makes the call with a client of the service.
 * @throws {CommandError} When the address or token is missing, the token is wrong, or the host does not answer.
 */
export async function connectOperator<T>(options: OperatorOptions, call: Call<T>): Promise<T> {
	const baseUrl = options.address ?? process.env['SAPPHIREFALL_ADDRESS'];
	if (baseUrl === undefined || !URL.canParse(baseUrl)) {
		throw new CommandError(resultCodes.usage, `--address must be the URL of a host's operator address, not "${baseUrl ?? ''}"`);
	}

	const transport = createConnectTransport({
		baseUrl, httpVersion: '1.1', interceptors: [createTokenInterceptor(readToken(options))], defaultTimeoutMs: callTimeoutMs,
	});
	try {
		return await call(createClient(OperatorService, transport));
	} catch (error) {
		throw describeFailure(error, baseUrl);
	}
}

function readToken(options: OperatorOptions): string {
	const fromEnvironment = process.env['SAPPHIREFALL_OPERATOR_TOKEN'];
	if (options.tokenFile === undefined) {
		if (fromEnvironment === undefined) {
			throw new CommandError(resultCodes.usage, '--token-file or SAPPHIREFALL_OPERATOR_TOKEN must give the operator token');
		}

		return fromEnvironment;
	}

	try {
		return readFileSync(options.tokenFile, 'utf8').trim();
	} catch {
		throw new CommandError(resultCodes.usage, `--token-file "${options.tokenFile}" cannot be read`);
	}
}

function describeFailure(error: unknown, baseUrl: string): unknown {
	if (!(error instanceof ConnectError)) {
		return error;
	}

	return error.code === Code.Unauthenticated
		? new CommandError(resultCodes.operatorUnknown, `The host at ${baseUrl} refuses the operator token`)
		: new CommandError(resultCodes.hostUnreachable, `The host at ${baseUrl} does not answer: ${error.rawMessage}`);
}
