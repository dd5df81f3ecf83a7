import {cac, type CAC, type Command} from 'cac';
import {runApply} from './run-apply.ts';
import {runCheck} from './run-check.ts';
import {runDrain} from './run-drain.ts';
import {runFreshness} from './run-freshness.ts';
import {runKey} from './run-key.ts';
import {runLimit} from './run-limit.ts';
import {runRoute} from './run-route.ts';
import {runServe} from './run-serve.ts';
import {runStatus} from './run-status.ts';
import {runTimeline} from './run-timeline.ts';
import {runWorkspace} from './run-workspace.ts';

const version = '0.1.0';

/** Creates the command-line interface with all commands. */
export function createCommandLine(): CAC {
	const cli = cac('sapphirefall');
	addHostCommands(cli);
	addConfigurationCommands(cli);
	addOperatingCommands(cli);
	cli.help();
	cli.version(version);
	return cli;
}

function addHostCommands(cli: CAC): void {
	cli.command('serve <settings>', 'Run an entry host')
		.example('sapphirefall serve host.yaml')
		.action(runServe);
	cli.command('check <settings>', 'Check a settings file and report every fault in it')
		.example('sapphirefall check host.yaml')
		.action(runCheck);
}

function addConfigurationCommands(cli: CAC): void {
	addChangeOptions(cli.command('apply <declaration>', 'Make the declared sections of the configuration so, in one change'))
		.option('--dry-run', 'Only show what differs')
		.example('sapphirefall apply fleet.yaml --dry-run')
		.example('sapphirefall apply fleet.yaml')
		.action(runApply);
	addLimitOptions(cli.command('workspace <action> [name]', 'Set, remove or list workspaces'))
		.option('--databases <names>', 'Databases that the workspace may use, parted by commas')
		.example('sapphirefall workspace set upper --rate 50 --burst 100 --databases pondbook')
		.example('sapphirefall workspace list --json')
		.action(runWorkspace);
	addChangeOptions(cli.command('key <action> [name]', 'Give, withdraw or list keys'))
		.option('--workspace <name>', 'Workspace to which the key belongs')
		.example('sapphirefall key give upper-1 --workspace upper')
		.example('sapphirefall key withdraw upper-1')
		.action(runKey);
	addLimitOptions(cli.command('limit <workspace>', 'Change the rate or burst of a workspace'))
		.example('sapphirefall limit upper --rate 80')
		.action(runLimit);
	addChangeOptions(cli.command('freshness <action> [kind]', 'Set the default of a kind of read, make an exception, or list both'))
		.option('--freshness <text>', 'latest, session, or within <age> such as "within 5s"')
		.option('--workspace <name>', 'Workspace of an exception')
		.option('--reason <text>', 'Written reason of an exception')
		.example('sapphirefall freshness set report --freshness "within 10s"')
		.example('sapphirefall freshness except audit --workspace upper --freshness latest --reason "the auditors compare with the bank"')
		.action(runFreshness);
	addChangeOptions(cli.command('route <action> [name]', 'Set or list open routes'))
		.option('--workspace <name>', 'Workspace that pays for the route')
		.option('--database <name>', 'Database that the route reads')
		.option('--sql <text>', 'Statement that the route runs')
		.option('--freshness <text>', 'latest, or within <age>')
		.example('sapphirefall route set levels --workspace upper --database pondbook --sql "SELECT name, level FROM pond" --freshness "within 1m"')
		.action(runRoute);
}

function addOperatingCommands(cli: CAC): void {
	addConnection(cli.command('status', 'Show what a host knows'))
		.example('sapphirefall status --address http://10.0.0.1:7201')
		.action(runStatus);
	addConnection(cli.command('drain', 'Let a host finish its requests and exit'))
		.example('sapphirefall drain --address http://10.0.0.1:7201')
		.action(runDrain);
	cli.command('load <plan>', 'Send a load, check the answers, and report')
		.option('--report <file>', 'Write a page with plots')
		.option('--json', 'Write the measures as JSON')
		.example('sapphirefall load plan.yaml --report report.html')
		.action(async (plan: string, options: {readonly report?: string; readonly json?: boolean}) => {
			// Loaded on demand: the plotting libraries would add to the memory and the start-up time of every host.
			const {runLoadPlan} = await import('./run-load-plan.ts');
			await runLoadPlan(plan, options);
		});
	cli.command('timeline <...sources>', 'Merge the events of all processes into one time line')
		.option('--request <id>', 'Show only a request')
		.option('--workspace <name>', 'Show only a workspace')
		.option('--database <name>', 'Show only a database')
		.option('--host <id>', 'Show only a process')
		.option('--json', 'Write a line of JSON for each event')
		.example('sapphirefall timeline host-a1.events host-b1.events --database pondbook')
		.example('sapphirefall timeline http://10.0.0.1:7201 http://10.0.0.2:7201 --request r-17')
		.action(runTimeline);
}

function addConnection(command: Command): Command {
	return command
		.option('--address <url>', 'Operator address of a host; else SAPPHIREFALL_ADDRESS')
		.option('--token-file <file>', 'File that holds the operator token; else SAPPHIREFALL_OPERATOR_TOKEN')
		.option('--json', 'Write JSON for a program to read');
}

function addChangeOptions(command: Command): Command {
	return addConnection(command)
		.option('--based-on <version>', 'Refuse the change when another version is in force');
}

function addLimitOptions(command: Command): Command {
	return addChangeOptions(command)
		.option('--rate <units>', 'Units a second over the whole fleet')
		.option('--burst <units>', 'Units that may be used at once');
}
