// Package forecast derives from the planners' sheet the few values that a demand
// forecast may change: the retry ratio, the connections kept warm and the queue delay
// target.
//
// The sheet is keyed by date, because the days of the peak follow a lunar
// calendar and fall on another date each year. The plan for a moment uses the
// highest demand forecast for the next 10 minutes, so that it is in place
// before a peak begins. Every value is clamped: a sheet that is missing, a day
// off or ten times wrong moves a value within its bounds and nothing else.
// A day without an entry, or whose entry is malformed, gives no forecast, and
// without a forecast PlanFor returns the default plan.
//
// The package has no clock and no state; its functions are safe for concurrent use.
package forecast
