/* eslint-disable n/file-extension-in-import -- the bundler finds TypeScript modules by their extension */
export {openWireClient} from '../../stand-ins/wire/open-wire-client.ts';
export {startWireDeployment} from '../../stand-ins/wire/start-wire-deployment.ts';
