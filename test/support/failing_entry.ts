/** Runs a direct entry that meets an uncaught error at SIGUSR2. */
import {main} from '../../platform/program.js';

process.on('SIGUSR2', () => {
  throw new Error('a fault that nothing catches');
});
main({codeCache: 'missing'});
