// Package modelplan plans which engine of a cell holds which model, version
// and adapters, and in which role. It is pure: time comes in with each Input,
// and orders go out; another package carries them out.
//
// How a plan stays safe although reports are late, orders get lost or arrive
// late, and a former planner may still be sending:
//
//   - every order carries a Fence: the epoch of the planner, and a number that
//     rises with each order. An engine refuses a lower one than the highest it
//     has seen, and its reports tell the highest that they reflect;
//   - an engine is settled when its report reflects the last order that this
//     planner sent to it. Until then no other order goes to it, save, after a
//     while, one that raises the fence and so kills what may still arrive. An
//     older planner's orders can change nothing at a settled engine;
//   - a copy is removed only while enough others are ready at settled engines.
//
// So no order of any planner removes the last ready copy of a model in use;
// only the death of an engine can.
package modelplan
