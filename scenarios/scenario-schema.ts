import {z} from 'zod';

const scalar = z.union([z.string(), z.number(), z.null()]);
const statement = z.union([z.string(), z.strictObject({sql: z.string(), parameters: z.array(scalar).default([])})]);

const expectation = z.strictObject({
	/** Expected answer: `done`, `notRun` or `unknown`; a list allows any of its members. */
	answer: z.union([z.string(), z.array(z.string())]).optional(),
	code: z.union([z.number(), z.array(z.number())]).optional(),
	/** Rows of the first statement that returns rows. */
	rows: z.array(z.array(scalar)).optional(),
	instance: z.string().optional(),
	notInstance: z.string().optional(),
	replayed: z.boolean().optional(),
	/** Longest time to the answer, in milliseconds. */
	within: z.number().optional(),
});

const call = z.strictObject({
	host: z.string(),
	key: z.string().optional(),
	database: z.string().optional(),
	route: z.string().optional(),
	read: z.string().optional(),
	readKind: z.string().optional(),
	write: z.boolean().optional(),
	idempotencyKey: z.string().optional(),
	repeatable: z.boolean().optional(),
	statements: z.array(statement).default([]),
	/** Sends the call on a stream to the host, which the first such call opens and which stays open. */
	stream: z.boolean().default(false),
	/** Name of the session whose token the call sends, and which stores the token of the answer. */
	session: z.string().optional(),
	/** Token to send in place of the session's. */
	token: z.string().optional(),
	deadline: z.number().optional(),
	expect: expectation.optional(),
	/** Name under which the call runs in the background; `join` waits for its answer. */
	background: z.string().optional(),
	/** Retries the call for up to this many milliseconds until its answer meets the expectation. */
	until: z.number().optional(),
	/** Number of times to make the call; each answer must meet the expectation. */
	times: z.number().default(1),
});

const change = z.strictObject({
	host: z.string().optional(),
	workspace: z.strictObject({
		name: z.string(), rate: z.number(), burst: z.number(), databases: z.array(z.string()),
	}).optional(),
	key: z.strictObject({name: z.string(), workspace: z.string()}).optional(),
	withdraw: z.string().optional(),
	freshness: z.strictObject({kind: z.string(), freshness: z.string()}).optional(),
	exception: z.strictObject({
		workspace: z.string(), kind: z.string(), freshness: z.string(), reason: z.string(),
	}).optional(),
	route: z.strictObject({
		route: z.string(), workspace: z.string(), database: z.string(), sql: z.string(), freshness: z.string(),
	}).optional(),
	basedOn: z.number().optional(),
	code: z.number().default(0),
	/** Text that the reason must contain. */
	reason: z.string().optional(),
	/** Retries the change for up to this many milliseconds until it gets the code. */
	until: z.number().default(0),
	background: z.string().optional(),
});

const step = z.strictObject({
	call: call.optional(),
	/**
	 * Sends `count` reads at once, spread over all hosts. At least `least` of them are done; together with those of earlier
	 * bursts of the key at most as many as the rate, the burst and the time since the first of these bursts allow.
	 */
	burst: z.strictObject({
		key: z.string(),
		read: z.string(),
		statements: z.array(z.string()),
		count: z.number(),
		least: z.number(),
		/** Limits of the key's workspace, in units, and the units that each read costs. */
		limits: z.strictObject({rate: z.number(), burst: z.number(), cost: z.number()}),
	}).optional(),
	/** Starts writes with an idempotency key each, one every `every` ms, through the hosts in turn; the next step runs once `after` are done. */
	writes: z.strictObject({
		name: z.string(),
		key: z.string(),
		hosts: z.array(z.string()).optional(),
		count: z.number(),
		every: z.number(),
		after: z.number().default(0),
		deadline: z.number(),
	}).optional(),
	/** Waits for the writes, compares their rows in the database with their answers, retries the unknown ones and compares again. */
	tally: z.strictObject({
		name: z.string(),
		/** Host that receives the counting reads and the retries. */
		host: z.string(),
		/** Smallest number of writes that are done. */
		done: z.number(),
		/** Smallest number of writes that are not done because of the fault. */
		failed: z.number().default(0),
	}).optional(),
	change: change.optional(),
	join: z.strictObject({name: z.string(), expect: expectation.optional(), code: z.number().optional()}).optional(),
	kill: z.string().optional(),
	freeze: z.string().optional(),
	thaw: z.string().optional(),
	terminate: z.string().optional(),
	restart: z.string().optional(),
	/** Cuts the connections from some zones to some processes. */
	cut: z.strictObject({from: z.array(z.string()), to: z.array(z.string())}).optional(),
	/** Isolates a zone from the processes of all other zones, in both directions. */
	partition: z.strictObject({zone: z.string(), platform: z.boolean().default(false)}).optional(),
	heal: z.literal(true).optional(),
	/** Closes the open connections; new ones work. */
	reset: z.strictObject({from: z.string(), to: z.string()}).optional(),
	/** Stops the open connections from delivering data for good; new ones work. */
	mute: z.strictObject({from: z.string(), to: z.string()}).optional(),
	platform: z.strictObject({
		down: z.boolean().default(false),
		delay: z.number().default(0),
		lostAnswers: z.number().default(0),
		departing: z.array(z.string()).default([]),
		/** Hosts that the platform's list omits. */
		unlisted: z.array(z.string()).default([]),
	}).optional(),
	answers: z.strictObject({
		instance: z.string(), delay: z.number().default(0), dropped: z.number().default(0), skipped: z.number().default(0), strays: z.boolean().default(false),
	}).optional(),
	/** Kills all acceptors (hosts that accept configuration changes) and removes them from the platform's list. */
	loseAcceptors: z.literal(true).optional(),
	wait: z.number().optional(),
	/** Waits until hosts report a primary or a configuration version. */
	waitFor: z.strictObject({
		hosts: z.array(z.string()).optional(),
		database: z.string().optional(),
		primary: z.string().optional(),
		notPrimary: z.string().optional(),
		version: z.number().optional(),
		within: z.number(),
	}).optional(),
	/** Waits until the process exits, and checks its exit code. */
	exit: z.strictObject({process: z.string(), code: z.number(), within: z.number()}).optional(),
	/** Checks that no process has written any of the keys that were added so far. */
	noKeyShown: z.literal(true).optional(),
	/** Checks how many events of a kind all processes together have written. */
	events: z.strictObject({
		kind: z.string(), detail: z.string().optional(), least: z.number().optional(), most: z.number().optional(),
	}).optional(),
});

/** Schema of a scenario file, whose language docs/SCENARIOS.md describes. */
export const scenarioSchema = z.strictObject({
	title: z.string(),
	/** Guarantee that the scenario tests, quoted from the section "What must always hold" of the project's requirements. */
	proves: z.string(),
	cluster: z.strictObject({
		zones: z.array(z.string()).default(['a', 'b', 'c']),
		hostsPerZone: z.number().default(1),
		databases: z.array(z.string()).default(['pondbook']),
		zoneDelay: z.number().default(3),
		zoneJitter: z.number().default(0),
		zoneLoss: z.number().default(0),
		host: z.record(z.string(), z.unknown()).default({}),
		endpoint: z.record(z.string(), z.unknown()).default({}),
		seed: z.number().default(1),
	}).prefault({}),
	/** Whether the transcript of the run is compared with a golden file. */
	golden: z.boolean().default(false),
	steps: z.array(step),
});
