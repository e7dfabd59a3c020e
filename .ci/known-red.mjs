// Decides whether a test run passes CI: node .ci/known-red.mjs LIST OUTPUT STATUS
// LIST has one line per test that may fail: its name, the cause and the issue, separated by " | ".
// OUTPUT is the TAP output of the run, STATUS its exit status. Fails if a test fails that is not listed, if more than
// three tests are listed, and if a listed test passes or does not exist. If LIST does not exist, no failure is tolerated.
import { existsSync, readFileSync } from "node:fs";

const MAX_LISTED = 3;
const [list = "", output = "", status = ""] = process.argv.slice(2);

const entries = existsSync(list) ? readFileSync(list, "utf8").split("\n").filter((line) => line.trim() !== "") : [];
const results = new Map();
for (const line of readFileSync(output, "utf8").split("\n")) {
  // Matches top-level tests only: subtests are indented.
  const match = /^(not )?ok \d+ - (.*)$/.exec(line);
  if (match) results.set(match[2].replaceAll("\\#", "#").replaceAll("\\\\", "\\"), match[1] === undefined);
}

const problems = [];
if (entries.length > MAX_LISTED) problems.push(`${entries.length} tests are listed, at most ${MAX_LISTED} are allowed`);
const listed = new Set();
for (const entry of entries) {
  const [name = "", cause, issue] = entry.split(" | ").map((part) => part.trim());
  if (!cause || !issue) problems.push(`an entry must have a test, a cause and an issue: ${entry}`);
  listed.add(name);
  if (!results.has(name)) problems.push(`listed, but no such test exists: ${name}`);
  else if (results.get(name)) problems.push(`listed, but it passes: ${name}`);
  else console.log(`known red: ${entry}`);
}
const failed = [...results].filter(([, passed]) => !passed).map(([name]) => name);
for (const name of failed) if (!listed.has(name)) problems.push(`failed: ${name}`);
if (results.size === 0) problems.push("no tests were run");
// The run failed for a reason other than a test, which the list cannot cover.
if (status !== "0" && failed.length === 0) problems.push(`the test run exited with status ${status}`);

for (const problem of problems) console.log(problem);
process.exit(problems.length === 0 ? 0 : 1);
