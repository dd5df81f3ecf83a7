import {z} from 'zod';

const scalar = z.union([z.string(), z.number(), z.null()]);
const statement = z.union([z.string(), z.strictObject({sql: z.string(), parameters: z.array(scalar).default([])})]);

const expectation = z.strictObject({
	/** Which of the three answers; a list allows any of several. */
	answer: z.union([z.string(), z.array(z.string())]).optional(),
	code: z.union([z.number(), z.array(z.number())]).optional(),
	/** Rows of the first statement that returns some. */
	rows: z.array(z.array(scalar)).optional(),
	instance: z.string().optional(),
	notInstance: z.string().optional(),
	replayed: z.boolean().optional(),
	/** Greatest milliseconds to the answer. */
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
	/** Sends the call on a stream to the host that is opened by the first such call and stays open. */
	stream: z.boolean().default(false),
	/** Name of the session whose token the call shows, and which takes the new one. */
	session: z.string().optional(),
	/** Token to show in place of the session's. */
	token: z.string().optional(),
	deadline: z.number().optional(),
	expect: expectation.optional(),
	/** Goes on without waiting; `join` waits for the answer. */
	background: z.string().optional(),
	/** Repeats the call until the expectation holds, for so many milliseconds. */
	until: z.number().optional(),
	/** Repeats the call so many times; each answer must meet the expectation. */
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
	/** Text that the reason must hold. */
	reason: z.string().optional(),
	/** Repeats the change until it has the code, for so many milliseconds. */
	until: z.number().default(0),
	background: z.string().optional(),
});

const step = z.strictObject({
	call: call.optional(),
	/** Sends calls to all hosts in turn at once, and counts those that are done. */
	burst: z.strictObject({
		key: z.string(),
		read: z.string(),
		statements: z.array(z.string()),
		count: z.number(),
		done: z.strictObject({least: z.number(), most: z.number()}),
	}).optional(),
	/** Begins writes with keys of their own through hosts in turn, one each `every` ms; goes on when `after` are done. */
	writes: z.strictObject({
		name: z.string(),
		key: z.string(),
		hosts: z.array(z.string()).optional(),
		count: z.number(),
		every: z.number(),
		after: z.number().default(0),
		deadline: z.number(),
	}).optional(),
	/** Waits for the writes, counts what each left in the database, repeats the unknown ones and counts again. */
	tally: z.strictObject({
		name: z.string(),
		/** Host that counts and repeats. */
		host: z.string(),
		/** Least writes that are done. */
		done: z.number(),
		/** Least writes that the fault kept from being done. */
		failed: z.number().default(0),
	}).optional(),
	change: change.optional(),
	join: z.strictObject({name: z.string(), expect: expectation.optional(), code: z.number().optional()}).optional(),
	kill: z.string().optional(),
	freeze: z.string().optional(),
	thaw: z.string().optional(),
	terminate: z.string().optional(),
	restart: z.string().optional(),
	/** Cuts the links from some zones to some processes. */
	cut: z.strictObject({from: z.array(z.string()), to: z.array(z.string())}).optional(),
	/** Cuts a zone from the processes of all others, and theirs from it. */
	partition: z.strictObject({zone: z.string(), platform: z.boolean().default(false)}).optional(),
	heal: z.literal(true).optional(),
	/** Closes the connections that are open; new ones work. */
	reset: z.strictObject({from: z.string(), to: z.string()}).optional(),
	/** Silences the connections that are open for good; new ones work. */
	mute: z.strictObject({from: z.string(), to: z.string()}).optional(),
	platform: z.strictObject({
		down: z.boolean().default(false),
		delay: z.number().default(0),
		lostAnswers: z.number().default(0),
		departing: z.array(z.string()).default([]),
		/** Hosts that the list leaves out. */
		unlisted: z.array(z.string()).default([]),
	}).optional(),
	answers: z.strictObject({
		instance: z.string(), delay: z.number().default(0), dropped: z.number().default(0), skipped: z.number().default(0), strays: z.boolean().default(false),
	}).optional(),
	/** Kills all hosts through which changes enter, and takes them off the platform's list. */
	loseAcceptors: z.literal(true).optional(),
	wait: z.number().optional(),
	/** Waits until hosts know a primary or a configuration version. */
	waitFor: z.strictObject({
		hosts: z.array(z.string()).optional(),
		database: z.string().optional(),
		primary: z.string().optional(),
		notPrimary: z.string().optional(),
		version: z.number().optional(),
		within: z.number(),
	}).optional(),
	/** The process ends with the code. */
	exit: z.strictObject({process: z.string(), code: z.number(), within: z.number()}).optional(),
	/** No process has written any of the keys given so far. */
	noKeyShown: z.literal(true).optional(),
	/** Counts the events of a kind over all processes. */
	events: z.strictObject({
		kind: z.string(), detail: z.string().optional(), least: z.number().optional(), most: z.number().optional(),
	}).optional(),
});

/** The schema of a scenario file, the small test language of docs/SCENARIOS.md. */
export const scenarioSchema = z.strictObject({
	title: z.string(),
	/** Line of the brief's "What must always hold" that the scenario proves. */
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
	/** Whether the whole session is compared with a golden file. */
	golden: z.boolean().default(false),
	steps: z.array(step),
});
