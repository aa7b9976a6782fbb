// Package modelplan plans which engine of a cell holds which model, version
// and adapters, and which role it has. It is pure: the time comes in with each
// Input, and Plan returns orders that another package sends to the engines.
//
// A plan stays safe although reports are late, orders get lost or arrive
// late, and a former planner may still be sending:
//
//   - every order carries a Fence: the epoch of the planner, and a number that
//     rises with each order. An engine rejects an order whose fence is lower
//     than the highest it has accepted, and its reports contain the highest
//     fence that they reflect;
//   - an engine is in sync when its report reflects the last order that this
//     planner sent to it. Until then the planner sends it no other order,
//     except, after a timeout, one that raises the fence and so invalidates
//     orders that may still arrive. An order of an older planner can change
//     nothing at an engine that is in sync;
//   - a copy is removed only while enough others are ready at engines that are
//     in sync.
//
// So no order of any planner removes the last ready copy of a model in use;
// only the loss of an engine can.
package modelplan
