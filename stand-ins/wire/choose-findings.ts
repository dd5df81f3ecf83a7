import type {SoakFinding} from './soak-finding.ts';

/** Findings of a kind that are described in full. */
const maxDescribedCount = 5;

/** Chooses the first findings of each kind. */
export function chooseFindings(findings: readonly SoakFinding[]): readonly SoakFinding[] {
	const findKind = ({rule, what}: SoakFinding) => `${rule} ${what.split(/[,\d]/v)[0]}`;
	return [...new Set(findings.map(finding => findKind(finding)))]
		.flatMap(kind => findings.filter(finding => findKind(finding) === kind).slice(0, maxDescribedCount));
}
