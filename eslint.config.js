const {defineConfig, globalIgnores} = require('eslint/config');
const gts = require('gts');

module.exports = defineConfig([
  globalIgnores(['dist/', 'target/', 'node_modules/']),
  {extends: [...gts]},
  {
    files: ['scripts/**/*.mjs'],
    languageOptions: {
      sourceType: 'module',
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
    rules: {'n/no-process-exit': 'off'},
  },
  {
    // chai's property assertions are expressions by design.
    files: ['test/**/*.ts'],
    rules: {'@typescript-eslint/no-unused-expressions': 'off'},
  },
]);
