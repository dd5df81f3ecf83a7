import type {Configuration} from './configuration.ts';
import type {DeclaredSection} from './declared-section.ts';

/** Sections of the configuration as they shall be; a section that is absent stays as it is. */
export type Declaration = Partial<Pick<Configuration, DeclaredSection>>;
