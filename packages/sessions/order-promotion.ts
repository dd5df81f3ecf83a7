/** Orders that an instance becomes the primary; `lost` when the order may or may not have been taken. */
export type OrderPromotion = (order: {
	readonly group: string;
	readonly instance: string;
	/** Host that holds the duty, and its fencing token. */
	readonly holder: string;
	readonly token: number;
}) => Promise<'accepted' | 'refused' | 'lost'>;
