import type {SettingsIssue} from './settings-issue.ts';

/** The settings, or every fault in them. */
export type SettingsOutcome<Settings> =
	| {readonly kind: 'valid'; readonly settings: Settings}
	| {readonly kind: 'invalid'; readonly issues: readonly SettingsIssue[]};
