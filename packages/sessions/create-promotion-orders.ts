import type {OrderPromotion} from './order-promotion.ts';

/** Promotion orders of a host, which gives none once it leaves the fleet. */
type PromotionOrders = {
	/** Gives an order; resolves to `lost` without giving it once they have ended. */
	readonly order: OrderPromotion;
	/** Lets no further order be given; resolves when the last one is answered or lost. */
	readonly end: () => Promise<void>;
};

/**
 * Creates the promotion orders of a host. Other hosts resume a failover at once when its host has left, so the last order
 * must have ended before.
 */
export function createPromotionOrders(orderPromotion: OrderPromotion): PromotionOrders {
	const unanswered = new Set<ReturnType<OrderPromotion>>();
	let hasEnded = false;
	return {
		async order(order) {
			if (hasEnded) {
				return 'lost';
			}

			const call = orderPromotion(order);
			unanswered.add(call);
			try {
				return await call;
			} finally {
				unanswered.delete(call);
			}
		},
		async end() {
			hasEnded = true;
			await Promise.allSettled(unanswered);
		},
	};
}
