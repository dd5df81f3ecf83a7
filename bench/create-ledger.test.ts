import {expect} from 'chai';
import {createLedger} from './create-ledger.ts';
import {parseDay} from './parse-day.ts';

const output = `   2.1000 front-a-1 {"outcome":"busy","reason":"The group has no primary now (fencing); retry after 500 ms","msg":"request: The statement failed."}
   2.2000 front-a-2 {"outcome":"busy","reason":"The group has no primary now (fencing); retry after 2100 ms","msg":"request: The statement failed."}
   2.3000 front-a-2 {"outcome":"timeout","reason":"The gateway front-b-1 gave no answer.","msg":"request: The statement failed."}
   2.4000 front-a-2 {"outcome":"done","msg":"request: The statement succeeded."}
   4.5000 front-a-2 {"outcome":"timeout","reason":"late","msg":"request: The statement failed."}
from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
0                      500     498      2       0      0        0  0.998     46.9    311.4
2                      300     120     10      60     10      100  0.610     36.3    222.1
4                      300     298      1       0      1        0  0.995     36.3    222.1
`;

describe('createLedger', () => {
	it('lists only windows in which much was lost, with the causes of that time', () => {
		expect(createLedger(parseDay(output))).to.deep.equal([{
			from: 2,
			owed: 200,
			worth: 0.61,
			causes: [
				{cause: 'busy: The group has no primary now (fencing); retry after …', count: 2},
				{cause: 'timeout: The gateway … gave no answer.', count: 1},
			],
		}]);
	});
});
