// Judges a run of the tests: node .ci/known-red.mjs LIST OUTPUT STATUS
// LIST has a line for each test that may fail: its name, the cause and the issue, with " | " between them.
// OUTPUT is what the run printed (TAP), STATUS its exit status. Fails on any failure that isn't listed, on more than
// three lines, and on a listed test that passes or doesn't exist. Without the list nothing is passed over.
import { existsSync, readFileSync } from "node:fs";

const MOST = 3;
const [list = "", output = "", status = ""] = process.argv.slice(2);

const lines = existsSync(list) ? readFileSync(list, "utf8").split("\n").filter((line) => line.trim() !== "") : [];
const results = new Map();
for (const line of readFileSync(output, "utf8").split("\n")) {
  // Of the top level only: subtests are indented.
  const found = /^(not )?ok \d+ - (.*)$/.exec(line);
  if (found) results.set(found[2].replaceAll("\\#", "#").replaceAll("\\\\", "\\"), found[1] === undefined);
}

const wrong = [];
if (lines.length > MOST) wrong.push(`${lines.length} tests are listed, ${MOST} are the most`);
const listed = new Set();
for (const line of lines) {
  const [name = "", cause, issue] = line.split(" | ").map((part) => part.trim());
  if (!cause || !issue) wrong.push(`a line must name test, cause and issue: ${line}`);
  listed.add(name);
  if (!results.has(name)) wrong.push(`listed, but there is no such test: ${name}`);
  else if (results.get(name)) wrong.push(`listed, but it passes: ${name}`);
  else console.log(`known red: ${line}`);
}
const failed = [...results].filter(([, passed]) => !passed).map(([name]) => name);
for (const name of failed) if (!listed.has(name)) wrong.push(`failed: ${name}`);
if (results.size === 0) wrong.push("no test was run");
// Whatever else ended the run with a failure is none that the list knows of.
if (status !== "0" && failed.length === 0) wrong.push(`the run ended with status ${status}`);

for (const text of wrong) console.log(text);
process.exit(wrong.length === 0 ? 0 : 1);
