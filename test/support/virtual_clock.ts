/** The virtual clock, for tests. */
export {createVirtualClock} from '../../standins/virtual_clock.js';
export type {VirtualClock} from '../../standins/virtual_clock.js';
