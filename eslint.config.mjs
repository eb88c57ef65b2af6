// Linter set to the Google TypeScript Style Guide by way of gts.
import gts from 'gts';

export default [
  {ignores: ['dist/', 'target/', 'node_modules/', 'coverage/']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.test.json'}},
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      eqeqeq: ['error', 'always'],
      'prefer-const': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Export by name; the style guide has no default exports.',
        },
      ],
      'max-lines': ['error', {max: 450}],
    },
  },
  {files: ['vitest.config.ts'], rules: {'no-restricted-syntax': 'off'}},
];
