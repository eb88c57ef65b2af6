/** What serving requests tells the services `sharing` and `followed`. */
import type {ServiceContext} from '../../types/kernel.js';
import '../messages.js';
import type {ServingOptions} from '../serving.js';

export type ServiceLinks = Pick<
  ServingOptions,
  'shareLoads' | 'limitLinks' | 'shareCrashReports' | 'quarantine'
>;

export function createServiceLinks({
  send,
  ask,
}: Pick<ServiceContext<'direct'>, 'send' | 'ask'>): ServiceLinks {
  return {
    shareLoads: (loads, changes) =>
      send('sharing', {kind: 'load', loads, changes}),
    limitLinks: {
      shareReports: (reports, to) =>
        send('sharing', {kind: 'limit-reports', reports, to}),
      sendAsk: (to, permitAsk) =>
        send('sharing', {kind: 'permit-ask', to, ask: permitAsk}),
      sendAnswer: (to, answer) =>
        send('sharing', {kind: 'permit-answer', to, answer}),
    },
    shareCrashReports: reports =>
      send('sharing', {kind: 'crash-reports', reports, toAll: true}),
    quarantine: {
      onQuarantined: (report, isOwn) =>
        send('followed', {kind: 'quarantined', report, isOwn}),
      onCleared: (digest, isOwn) =>
        send('followed', {kind: 'quarantine-cleared', digest, isOwn}),
      claimTrial: (digest, trial, claimant) =>
        ask('followed', (reply: (isGained: boolean | undefined) => void) => ({
          kind: 'claim-trial',
          digest,
          trial,
          claimant,
          reply,
        })),
    },
  };
}
