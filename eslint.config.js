import { builtinModules } from "node:module";
import { defineConfig, globalIgnores } from "eslint/config";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

// Biome formats the code and applies lint rules that look at a single file. ESLint only adds rules that need types, and
// rules on names, function size, doc comments and imports between folders. Exceptions are disable comments in the code,
// next to their reason; an unused disable comment is an error.

const SOURCES = ["src/**/*.ts"];
const CORE = ["src/core/**/*.ts"];
/** Files in which properties may have the names of fields on the wire and in settings. */
const EXTERNAL_NAMES = ["src/config/**/*.ts", "src/protocol/**/*.ts", "test/**/*.ts", "tools/**/*.ts"];

const camelCase = { format: ["camelCase"], leadingUnderscore: "allow" };
const constant = { format: ["camelCase", "UPPER_CASE"] };
const properties = ["objectLiteralProperty", "typeProperty"];
const noInterfacePrefix = { regex: "^I[A-Z]", match: false };
const namingRules = ({ allowExternalNames }) => {
  const destructured = { format: allowExternalNames ? null : ["camelCase", "PascalCase"] };
  return [
    { selector: "default", ...camelCase },
    // Names chosen by other packages: default and namespace imports, and classes destructured from `await import(...)`.
    { selector: "import", format: ["camelCase", "PascalCase"] },
    { selector: "variable", modifiers: ["destructured"], ...destructured },
    { selector: "variable", modifiers: ["const", "global", "destructured"], ...destructured },
    { selector: "variable", modifiers: ["const", "global"], ...constant },
    { selector: "classProperty", modifiers: ["static", "readonly"], ...constant },
    { selector: "typeLike", format: ["PascalCase"] },
    { selector: "interface", format: ["PascalCase"], custom: noInterfacePrefix },
    { selector: "enumMember", format: ["PascalCase"] },
    // Headers, paths and other keys that are not valid identifiers.
    { selector: properties, modifiers: ["requiresQuotes"], format: null },
    // Fields of log lines and of the status are an interface for operators and use snake_case.
    ...(allowExternalNames
      ? []
      : [{ selector: "objectLiteralProperty", format: ["camelCase", "snake_case"] }]),
    ...(allowExternalNames ? [{ selector: properties, format: null }] : []),
    ...(allowExternalNames ? [{ selector: "parameter", modifiers: ["destructured"], format: null }] : []),
  ];
};

const exportDeclarations = ["ExportNamedDeclaration", "ExportDefaultDeclaration"];
const publicMethod =
  ":matches(MethodDefinition, TSAbstractMethodDefinition)[kind=/^(method|get)$/]" +
  "[key.type!='PrivateIdentifier']:not([accessibility=/^(private|protected)$/])";

const escapeRegExp = (text) => text.replaceAll(/[$.*+?^()[\]{}|\\]/g, "\\$&");
const impureModules = [
  ...builtinModules.filter((name) => !name.startsWith("node:")),
  "rxjs",
  "express",
  "pino",
];
const impureGlobals = {
  Date: "Use the time passed in with each command.",
  performance: "Use the time passed in with each command.",
  setTimeout: "Request a wake-up with an effect.",
  setInterval: "Request a wake-up with an effect.",
  setImmediate: "Request a wake-up with an effect.",
  queueMicrotask: "Return effects.",
  process: "Settings are passed to the constructor.",
  console: "Log with an effect.",
  fetch: "Call external systems with an effect.",
  crypto: "Use the seeded random number generator.",
};
const pureCore = "src/core is pure: its input is commands and the time, its output is effects.";

export default defineConfig(
  globalIgnores(["target/", "journal/", "node_modules/"]),
  {
    name: "typed",
    files: ["**/*.ts"],
    languageOptions: {
      parser: tseslint.parser,
      // projectService would be no faster, since a single program is built in either case.
      parserOptions: { project: "./tsconfig.json", tsconfigRootDir: import.meta.dirname },
    },
    linterOptions: { reportUnusedDisableDirectives: "error" },
    plugins: { "@typescript-eslint": tseslint.plugin },
    rules: {
      "@typescript-eslint/no-floating-promises": [
        "error",
        {
          // The test runner awaits these itself.
          allowForKnownSafeCalls: [
            { from: "package", package: "node:test", name: ["describe", "it", "suite", "test"] },
          ],
        },
      ],
      // Express 5 forwards rejections of asynchronous handlers, and its types allow them, so no exemption is needed.
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/only-throw-error": "error",
      "@typescript-eslint/prefer-promise-reject-errors": "error",
      "@typescript-eslint/require-await": "error",
      "@typescript-eslint/return-await": ["error", "in-try-catch"],
      // Every member needs its own case. `default: x satisfies never` is allowed in addition, but a default does not
      // replace a case.
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { allowDefaultCaseForExhaustiveSwitch: true, considerDefaultExhaustiveForUnions: false },
      ],
      "@typescript-eslint/no-unnecessary-condition": [
        "error",
        { allowConstantLoopConditions: "only-allowed-literals" },
      ],
      "@typescript-eslint/naming-convention": ["error", ...namingRules({ allowExternalNames: false })],
    },
  },
  {
    name: "external names",
    files: EXTERNAL_NAMES,
    rules: {
      "@typescript-eslint/naming-convention": ["error", ...namingRules({ allowExternalNames: true })],
    },
  },
  {
    name: "function size",
    files: SOURCES,
    rules: {
      "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
      complexity: ["error", { max: 20 }],
      "max-params": ["error", { max: 5 }],
    },
  },
  {
    name: "doc comments",
    files: SOURCES,
    plugins: { jsdoc },
    rules: {
      "jsdoc/require-jsdoc": [
        "error",
        {
          // A fixer would insert empty doc comments.
          enableFixer: false,
          require: { FunctionDeclaration: false },
          // Not `publicOnly`, which accepts the doc comment of a class in place of those of its methods.
          contexts: exportDeclarations.flatMap((path) => [
            `${path} > :matches(ClassDeclaration, FunctionDeclaration)`,
            `${path} > :matches(TSInterfaceDeclaration, TSTypeAliasDeclaration)`,
            `${path} > ClassDeclaration > ClassBody > ${publicMethod}`,
          ]),
        },
      ],
      "jsdoc/no-blank-blocks": ["error", { enableFixer: false }],
    },
  },
  {
    name: "pure core",
    files: CORE,
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            { regex: `^(node:.*|(${impureModules.map(escapeRegExp).join("|")})(/.*)?)$`, message: pureCore },
            {
              regex: "^\\.{1,2}/(.*/)?(protocol|shell)(/|$)",
              message: "src/core must not import src/protocol or src/shell.",
            },
          ],
        },
      ],
      // The rule above does not check dynamic imports and import types.
      "no-restricted-syntax": [
        "error",
        { selector: "ImportExpression", message: `${pureCore} Use a static import.` },
        { selector: "TSImportType", message: "Import the type by name at the top of the file." },
      ],
      "no-restricted-globals": [
        "error",
        {
          globals: Object.entries(impureGlobals).map(([name, message]) => ({
            name,
            message: `${pureCore} ${message}`,
          })),
          checkGlobalObject: true,
        },
      ],
      "no-restricted-properties": [
        "error",
        { object: "Math", property: "random", message: `${pureCore} ${impureGlobals.crypto}` },
      ],
    },
  },
);
