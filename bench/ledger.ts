/* Prints the windows of played days in which much was lost, and why: npm run bench:ledger -- FILE... */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {createLedger} from './create-ledger.ts';
import {parseDay} from './parse-day.ts';

for (const file of process.argv.slice(2)) {
	console.log(file);
	for (const {from, owed, worth, causes} of createLedger(parseDay(readFileSync(file, 'utf8')))) {
		console.log(`  from second ${from}: worth ${worth} of ${owed} requests`);
		for (const {cause, count} of causes) {
			console.log(`    ${count} ${cause}`);
		}
	}
}
