/** Name of a section of the configuration that a declaration can contain. */
export type DeclaredSection = 'workspaces' | 'keys' | 'freshness' | 'exceptions' | 'routes';
