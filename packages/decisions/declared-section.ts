/** A section of the configuration that a declaration can hold. */
export type DeclaredSection = 'workspaces' | 'keys' | 'freshness' | 'exceptions' | 'routes';
