/** Stands for the answer of a simulated instance that refuses to tell its status since all its slots are taken. */
export const busyStatus = 'busy';
