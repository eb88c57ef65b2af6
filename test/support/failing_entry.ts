/** Runs a direct entry that meets uncaught errors at each SIGUSR2. */
import {main} from '../../platform/program.js';

process.on('SIGUSR2', () => {
  void Promise.reject(new Error('a rejection that nothing awaits'));
  throw new Error('a fault that nothing catches');
});
main({codeCache: 'missing'});
