/** Requests the promotion of an instance to primary; resolves to `lost` when it is unknown whether the request was accepted. */
export type OrderPromotion = (order: {
	readonly group: string;
	readonly instance: string;
	/** Host that holds the failover lock, and its fencing token. */
	readonly holder: string;
	readonly token: number;
	/** Milliseconds for which the order may still be on its way; 0 or less when it must not be sent any more. */
	readonly findRemaining: () => number;
}) => Promise<'accepted' | 'refused' | 'lost'>;
