/** One process of the cluster before it starts. */
export type ClusterNode = {
	readonly id: string;
	readonly zone: string;
	readonly kind: 'host' | 'instance';
	readonly database: string;
	/** Port at which hosts and instances reach it. */
	readonly port: number;
};
