/** Seeded chance, for tests. */
export {createSeededRandom} from '../../standins/seeded_random.js';
