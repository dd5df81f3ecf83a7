import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createLink} from './create-link.ts';
import type {Link} from './link.ts';
import {usualLinkFault} from './usual-link-fault.ts';

/** Milliseconds after which bytes that no link holds have arrived. */
const arrivalMs = 100;

describe('createLink', () => {
	let server: Server;
	let link: Link;
	/** What the process behind the link has received. */
	let received = '';

	beforeEach(async () => {
		received = '';
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', chunk => {
				received += String(chunk);
				socket.write('answer');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		link = await createLink((server.address() as AddressInfo).port, {fault: usualLinkFault, random: Math.random});
	});

	afterEach(() => {
		link.close();
		server.close();
	});

	const open = async (): Promise<{readonly socket: Socket; readonly read: () => string}> => {
		const socket = connect(link.port, '127.0.0.1');
		let text = '';
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			text += String(chunk);
		});
		await once(socket, 'connect');
		return {socket, read: () => text};
	};

	it('passes on bytes in both directions', async () => {
		const {socket, read} = await open();
		socket.write('request');
		await sleep(arrivalMs);
		expect([received, read()]).to.deep.equal(['request', 'answer']);
	});

	it('holds bytes in both directions until a partition ends', async () => {
		const {socket, read} = await open();
		link.setFault({isPartitioned: true});
		socket.write('request');
		await sleep(arrivalMs);
		expect([received, read()]).to.deep.equal(['', '']);
		link.setFault({isPartitioned: false});
		await sleep(arrivalMs);
		expect([received, read()]).to.deep.equal(['request', 'answer']);
	});

	it('holds only the answers if it is told so', async () => {
		const {socket, read} = await open();
		link.setFault({isPartitioned: true, heldBytes: 'answers'});
		socket.write('request');
		await sleep(arrivalMs);
		expect([received, read()]).to.deep.equal(['request', '']);
		link.setFault({isPartitioned: false});
		await sleep(arrivalMs);
		expect(read()).to.equal('answer');
	});

	it('delivers what it held although the sender has closed the connection', async () => {
		const {socket} = await open();
		link.setFault({isPartitioned: true, heldBytes: 'requests'});
		socket.write('request');
		await sleep(arrivalMs);
		socket.destroy();
		await sleep(arrivalMs);
		link.setFault({isPartitioned: false});
		await sleep(arrivalMs);
		expect(received).to.equal('request');
	});

	it('does not deliver what it held if the sender has reset the connection', async () => {
		const {socket} = await open();
		link.setFault({isPartitioned: true, heldBytes: 'requests'});
		socket.write('request');
		await sleep(arrivalMs);
		socket.resetAndDestroy();
		await sleep(arrivalMs);
		link.setFault({isPartitioned: false});
		await sleep(arrivalMs);
		expect(received).to.equal('');
	});
});
