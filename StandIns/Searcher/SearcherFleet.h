#pragma once

#include "Searcher.h"

#include <memory>
#include <vector>

namespace verbenachute::standins {

/// All searchers of a process, and the control port for them.
///
/// POST /control takes {"command":C,...} for the targets that "targets":
/// [NAME,...], "domain":D and "service":S leave, each of which may be left out,
/// and replies {"applied":N}. GET /control/record gives a summary by target,
/// GET /control/executions one line an execution.
class SearcherFleet final : public HttpHandler
{
public:
  SearcherFleet(EventLoop& aLoop,
                SocketAddress aControl,
                const std::vector<TargetSettings>& aTargets,
                std::uint64_t aSeed);

  void RequestReceived(const HttpRequest& aRequest) override;

private:
  void Command(const HttpRequest& aRequest);
  void TellRecord(const HttpRequest& aRequest);
  void TellExecutions(const HttpRequest& aRequest);

  std::vector<std::unique_ptr<Searcher>> mSearchers;
  HttpServer mServer;
};

} // namespace verbenachute::standins
