import type {InstanceReport, InstanceRole} from '@sapphirefall/decisions';
import {decodePoint} from './decode-point.ts';
import {InstanceRole as RoleMessage, type InstanceReport as InstanceReportMessage} from './gen/endpoint_pb.ts';

const roles: Readonly<Record<RoleMessage, InstanceRole>> = {
	[RoleMessage.UNSPECIFIED]: 'fenced',
	[RoleMessage.PRIMARY]: 'primary',
	[RoleMessage.REPLICA]: 'replica',
	[RoleMessage.FENCED]: 'fenced',
};

/** Decodes the report of an instance. An unspecified role counts as fenced, which serves neither reads nor writes. */
export function decodeReport(report: InstanceReportMessage): InstanceReport {
	return {
		instance: report.instance,
		term: report.term,
		role: roles[report.role],
		point: decodePoint(report.at),
	};
}
