/** Lets a host process throw an error that nobody handles when it gets SIGUSR2; loaded with `--import`. */
import process from 'node:process';

process.on('SIGUSR2', () => {
	throw new Error('thrown on SIGUSR2');
});
