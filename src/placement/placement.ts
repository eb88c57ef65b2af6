import type {ServiceSpec} from '../types/kernel.js';
export function createPlacementService(_: object): ServiceSpec<'placement'> {
  return {
    name: 'placement',
    start: ctx => {
      void ctx.mailbox.observe(m => {
        if (m.kind === 'status')
          m.reply({placer: false, holder: '', fence: 0, decisions: []});
      });
    },
  };
}
