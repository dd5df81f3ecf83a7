import type {Configuration} from './configuration.ts';
import type {DeclaredSection} from './declared-section.ts';

/** The desired contents of sections of the configuration. An absent section stays unchanged. */
export type Declaration = Partial<Pick<Configuration, DeclaredSection>>;
