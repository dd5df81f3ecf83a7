import process from 'node:process';
import {createServer} from 'node:http2';
import {readFileSync} from 'node:fs';
import {fromJson, type JsonValue} from '@bufbuild/protobuf';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {parse} from 'yaml';
import {ListFleetResponseSchema} from '@sapphirefall/wire';
import {createStdoutEventLog} from '../cluster/create-stdout-event-log.ts';
import {createPlatform} from './create-platform.ts';

/** The view of one availability zone: a port on which the platform listens, and a fleet list with addresses that are reachable from the zone. */
type ZoneView = {readonly port: number; readonly fleet: JsonValue};

const {views} = parse(readFileSync(process.argv[2] ?? '', 'utf8')) as {readonly views: readonly ZoneView[]};
const events = createStdoutEventLog('platform');
const platform = createPlatform((row, version) => {
	events.emit({kind: 'row-written', detail: `${row} in version ${version}`});
});
for (const {port, fleet} of views) {
	const routes = platform.createRoutes(fromJson(ListFleetResponseSchema, fleet));
	createServer(connectNodeAdapter({routes})).listen(port, '127.0.0.1');
}
