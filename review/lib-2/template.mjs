/** Fills in a template of settings, as the users' DEPLOY.md describes it. */

const TAG = /\{\{([#^]?)([^{}|]*)(\|json)?\}\}/g;

/** `scopes` holds the fields, the innermost section last. */
export function renderTemplate(text, fields) {
  return render(text, [fields]);
}

function lookUp(name, scopes) {
  if (name === '.') return scopes.at(-1);
  const [first, ...rest] = name.split('.');
  for (const scope of [...scopes].reverse()) {
    if (Object(scope) !== scope || !(first in scope)) continue;
    return rest.reduce((value, key) => value?.[key], scope[first]);
  }
  return undefined;
}

function render(text, scopes) {
  let out = '';
  let at = 0;
  TAG.lastIndex = 0;
  for (let tag; (tag = TAG.exec(text)) !== null;) {
    const [whole, kind, name, json] = tag;
    out += text.slice(at, tag.index);
    at = tag.index + whole.length;
    const value = lookUp(name, scopes);
    if (kind === '') {
      out += json ? JSON.stringify(value) : show(value);
      continue;
    }
    const close = `{{/${name}}}`;
    const end = text.indexOf(close, at);
    const inner = text.slice(at, end);
    at = end + close.length;
    const isThere = value !== undefined && value !== false && value !== null;
    if (kind === '#' && isThere) out += render(inner, [...scopes, value]);
    if (kind === '^' && !isThere) out += render(inner, scopes);
    TAG.lastIndex = at;
  }
  return out + text.slice(at);
}

function show(value) {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
