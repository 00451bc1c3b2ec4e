//! Estimates of output length, learnt per customer and route.
