// What a plan says, for people and for programs.
#pragma once

#include <json/value.h>

#include <string>
#include <vector>

#include "plan/bounds.hpp"
#include "plan/breaks.hpp"
#include "plan/fit.hpp"
#include "plan/size.hpp"
#include "plan/whatif.hpp"

namespace laurelhaven::plan {

Json::Value value(const Interval& interval);
std::string text(const std::vector<Bound>& bounds);
std::string json(const std::vector<Bound>& bounds);
std::string text(const Breaks& breaks, const Description& description);
std::string json(const Breaks& breaks, const Description& description, const std::vector<Bound>& bounds);
std::string text(const Size& size, const Description& description);
std::string json(const Size& size, const Description& description);
std::string text(const std::vector<WhatIf>& all, const Description& description);
std::string json(const std::vector<WhatIf>& all, const Description& description);
std::string text(const std::vector<Unexplained>& all);
std::string json(const std::vector<Unexplained>& all);

}  // namespace laurelhaven::plan
