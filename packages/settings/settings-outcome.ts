import type {SettingsIssue} from './settings-issue.ts';

/** Outcome of parsing a settings file: the settings, or all errors in the file. */
export type SettingsOutcome<Settings> =
	| {readonly kind: 'valid'; readonly settings: Settings}
	| {readonly kind: 'invalid'; readonly issues: readonly SettingsIssue[]};
