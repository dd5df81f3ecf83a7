/** A host or an endpoint instance of the cluster. */
export type ClusterNode = {
	readonly id: string;
	readonly zone: string;
	readonly kind: 'host' | 'instance';
	/** Database that an instance serves; empty for a host. */
	readonly database: string;
	/** Port on which the process listens for hosts and instances. The links of each zone forward to this port. */
	readonly port: number;
};
